"""Entry point of ``python -m cyclamenlift``."""

from cyclamenlift.cli import main

if __name__ == '__main__':
    main()
