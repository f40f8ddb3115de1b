#pragma once

#include <standin/engineoptions.h>
#include <standin/servicestandin.h>

#include <string>

/// \brief The command line of verbena-standin.
struct StandinOptions
{
    std::string role;
    Verbena::Standin::EngineOptions engine;
    Verbena::Standin::ServiceOptions service;

    /// \brief Reads the command line; prints help, version or an error and exits where the user asked for that.
    static StandinOptions parse(int argc, char **argv, const std::string &version);
};
