"""The command line: operators' commands, daemons, measurements, log tools."""
