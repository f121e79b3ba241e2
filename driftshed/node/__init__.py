"""The platform's protocol: another transport for the same decisions module.

Names and formats of the platform appear only in `codec`. State machines without I/O run on thin connections of
`driftshed.net`. No decisions are made in this package. See docs/platform.md."""
