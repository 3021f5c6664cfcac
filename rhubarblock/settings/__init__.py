"""Settings of an instance, validated as a whole before it starts."""
