#include <application/startsignals.h>
#include <loader/loadreport.h>
#include <loader/programmodule.h>

// The build gives VERBENA_PROGRAM, the name of the program, and VERBENA_MODULE, its module as seen from the program's folder.
int main(int argc, char **argv)
{
    Verbena::Application::prepareSignals();
    const Verbena::Loader::ProgramModule module(VERBENA_MODULE);
    if (module.entry() == nullptr) {
        return Verbena::Loader::reportLoadFailure(VERBENA_PROGRAM, module.path(), module.failure());
    }
    return module.entry()(argc, argv);
}
