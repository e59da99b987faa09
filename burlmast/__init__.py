"""burlmast: decisions for playbacks on media servers with shared links."""
