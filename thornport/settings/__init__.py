"""The settings tree: declarations, inheritance, edits and the revision in force."""
