"""The load tool: open-loop requests at entries, each answer checked."""
