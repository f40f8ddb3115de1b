#include "arguments.h"

#include <tclap/CmdLine.h>

namespace Verbena::Tool {

namespace {

constexpr const char *description
    = "Operates verbenaladder. Commands: settings check FILE..., settings diff FILE..., settings apply FILE..., "
      "settings get [SUBTREE], settings history PATH, settings watch, status, drain BACKEND_SERVER, explain PROMPT_FILE, "
      "explain REQUEST_ID LOG_FILE..., keygen curve, keygen api. Exit status: 0 success, 1 something could not be reached, 2 the command or the settings "
      "are wrong, 3 it is not known whether the change was accepted, 4 somebody else was first, 5 not permitted.";

} // namespace

Arguments Arguments::parse(int argc, char **argv, const std::string &version)
{
    using TCLAP::MultiArg;
    using TCLAP::ValueArg;
    TCLAP::CmdLine line(description, ' ', version);
    ValueArg<std::string> platform("p", "platform", "The platform's table service, for instance http://10.0.0.9:8080.", false, "", "url", line);
    ValueArg<std::string> name("o", "operator", "The operator who asks, as declared in the tree.", false, "", "name", line);
    ValueArg<std::string> keyFile("k", "operator-key-file", "The file with the operator's key on its first line.", false, "", "file", line);
    MultiArg<std::string> prune("", "prune", "Delete what lies in this subtree and is not in the files.", false, "subtree", line);
    MultiArg<std::string> process("u", "process", "A process to ask, for instance http://10.0.0.1:8000.", false, "url", line);
    ValueArg<std::string> apiKey("", "api-key-file", "The file with a caller's API key on its first line, for explain.", false, "", "file", line);
    ValueArg<std::string> model("m", "model", "The model of a prompt in plain text, for explain.", false, "", "name", line);
    TCLAP::SwitchArg undo("", "undo", "With drain: give the backend server work again.", line);
    ValueArg<int> timeout("t", "timeout-ms", "How long each call may take.", false, 5000, "milliseconds", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "The command and what it is about.", true, "command", line);
    line.parse(argc, argv);
    return {words.getValue(),
        platform.getValue(),
        name.getValue(),
        keyFile.getValue(),
        prune.getValue(),
        process.getValue(),
        apiKey.getValue(),
        model.getValue(),
        undo.getValue(),
        std::chrono::milliseconds(timeout.getValue())};
}

} // namespace Verbena::Tool
