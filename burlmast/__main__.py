"""`python -m burlmast`."""

from burlmast.cli import main

if __name__ == "__main__":
    main(prog_name="burlmast")
