Feature: A VM listens for callers before its libraries are loaded
  Connections that come meanwhile wait instead of being refused.

  Scenario: Listening early loads none of the libraries
    Given a settings file that names an address for callers
    When a new process listens early by that file
    Then it accepts connections at that address
    And it has loaded none of "asyncio, blacksheep, cleo, msgspec, zmq"

  Scenario: A VM on the platform loads neither the command line nor a client
    When a new process loads what a VM on the platform runs
    Then it has loaded none of "aiohttp, cleo, yaml, pomelolane.commands, pomelolane.settings"

  Scenario: The launcher says in one line that it has no settings file
    When the launcher is run without a settings file
    Then it ends with the line "pomelolane: POMELOLANE_NODE_FILE is not set"

  Scenario: The program goes on with the socket that listens already
    Given a settings file that names an address for callers
    When this process listens early by that file
    Then the program is handed the socket that listens at that address

  Scenario: A settings file without an address is told of later
    Given a settings file that names no address
    When this process listens early by that file
    Then the program is handed no socket

  # Guards against VMs that end, with the callers that wait for them, because their
  # settings file changes while they start.
  @processes
  Scenario: A starting VM outlives the news of another settings file
    Given a platform VM that is started by the launcher
    When it hears of a new settings file as soon as it listens for callers
    Then it is ready within 10 s
