"""When a rejected viewer is told to come again, from what one gateway has seen."""
