from mallowvalve.cli import main

main()
