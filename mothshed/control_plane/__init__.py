"""The control_plane library of mothshed; docs/design.md says what belongs here."""
