"""Stand-ins and a driver for the cases 9 to 13; only the standard library is used."""
