"""Run the operators' command line as `python -m amaranthferry`."""

from .cli import main

if __name__ == "__main__":
    main()
