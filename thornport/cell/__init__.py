"""A cell: workers whose tasks one owner decides on, and how it decides."""
