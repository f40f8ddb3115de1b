#pragma once

#include "hostlist.h"
#include "tableservice.h"

#include <string>
#include <vector>

namespace Verbena::Store {

// JSON messages of the platform's HTTP interface. Each decode function fails with InvalidArgument.

/// \brief Returns whether all keys and values of \a writes are UTF-8, as JSON requires.
bool isEncodable(const std::vector<RowWrite> &writes);

std::string encodeRows(const std::vector<TableRow> &rows);
Core::Result<std::vector<TableRow>> decodeRows(const std::string &text);

std::string encodeWrites(const std::vector<RowWrite> &writes);
Core::Result<std::vector<RowWrite>> decodeWrites(const std::string &text);

std::string encodeHosts(const std::vector<HostEntry> &hosts);
Core::Result<std::vector<HostEntry>> decodeHosts(const std::string &text);

std::string encodeKeys(const std::vector<std::string> &keys);
Core::Result<std::vector<std::string>> decodeKeys(const std::string &text);

/// \brief Arguments of TableService::scan().
struct ScanArguments
{
    std::string prefix;
    std::uint64_t sinceRevision = 0;
    std::size_t limit = 0;
};

std::string encodeScan(const ScanArguments &arguments);
Core::Result<ScanArguments> decodeScan(const std::string &text);

std::string encodeRevision(std::uint64_t revision);
Core::Result<std::uint64_t> decodeRevision(const std::string &text);

} // namespace Verbena::Store
