"""What the owner of a cell decides: pure, messages and time in, messages out."""
