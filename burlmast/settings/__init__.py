"""Settings: Jsonnet templates, checked into frozen types before anything is opened."""
