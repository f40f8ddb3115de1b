# What cmake --install puts beside the programs.
install(FILES README.md CONTRIBUTING.md DESTINATION share/doc/verbenaladder)
install(DIRECTORY docs examples DESTINATION share/doc/verbenaladder)
install(DIRECTORY packaging/systemd/ DESTINATION lib/systemd/system)
