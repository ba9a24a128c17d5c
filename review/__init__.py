"""An independent review: cases, and the stand-ins that they share."""
