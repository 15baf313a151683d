"""The programs library of mothshed; docs/design.md says what belongs here."""
