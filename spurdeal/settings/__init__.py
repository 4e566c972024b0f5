"""The settings file: YAML, validated by pydantic models; errors name file, line and key."""
