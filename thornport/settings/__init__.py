"""The tree of settings: declarations, inheritance, edits, what is in force."""
