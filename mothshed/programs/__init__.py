"""The daemons and the operator's command line. docs/design.md defines the scope of this package."""
