"""Start one entry host for routed requests."""

from amaranthferry.gateway.daemon import main

if __name__ == "__main__":
    main()
