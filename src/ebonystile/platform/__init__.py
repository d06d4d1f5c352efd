"""The adapter to the platform: its store, packet headers, settings, documents and instances."""
