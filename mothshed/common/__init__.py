"""The common library of mothshed; docs/design.md says what belongs here."""
