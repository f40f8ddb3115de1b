#pragma once

#include <decisions/spread/settingsdelta.h>

#include <vector>

namespace Verbena::Bench {

/// \brief Rows of the organisations from \a first on and before \a end, two teams with two keys in each, by rising revision.
std::vector<Decisions::SettingsRow> treeRows(int first, int end);

/// \brief What one process keeps and spends for a tree of some size; each organisation has two teams with two keys each.
struct StoreFigures
{
    int organisations = 0;
    double rowBytes = 0; ///< Paths and contents.
    double storeHeapBytes = 0; ///< Rows as they are passed on.
    double inForceHeapBytes = 0; ///< Decoded.
    double changeNanoseconds = 0; ///< Processor time of one change, from message to in force.
    double startNanoseconds = 0; ///< Processor time from a whole tree in one message to in force.
};

StoreFigures measureStore(int organisations);

} // namespace Verbena::Bench
