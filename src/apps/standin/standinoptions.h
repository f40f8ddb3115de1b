#pragma once

#include <standin/engineoptions.h>
#include <standin/servicestandin.h>

#include <string>

/// \brief Command line options of verbena-standin.
struct StandinOptions
{
    std::string role;
    Verbena::Standin::EngineOptions engine;
    Verbena::Standin::ServiceOptions service;

    /// \brief Parses the command line. Prints help, version or an error and exits if requested or if the arguments are invalid.
    static StandinOptions parse(int argc, char **argv, const std::string &version);
};
