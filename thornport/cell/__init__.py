"""A cell: a set of workers whose tasks are scheduled by one owner process."""
