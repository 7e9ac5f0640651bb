"""An emulator of what a director serves, in virtual time, around the very engine of the daemon."""
