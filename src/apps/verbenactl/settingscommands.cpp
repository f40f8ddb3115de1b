#include "settingscommands.h"

#include "toolplatform.h"

#include <operator/settingseditor.h>
#include <operator/treetext.h>

#include <sodium.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace Verbena::Tool {

namespace {

using Words = std::vector<std::string>;

constexpr std::chrono::seconds watchInterval{1};
constexpr std::size_t watchPageRows = 500;

ExitStatus fail(const Core::Error &error)
{
    const bool isListOfProblems = error.step == "settings.check";
    std::cerr << (isListOfProblems ? error.message : error.toString()) << '\n';
    return exitStatusOf(error);
}

Core::Error wrongCommand(const std::string &message)
{
    return {Core::ErrorCode::InvalidArgument, "command", "", message};
}

std::string newChangeId()
{
    std::array<unsigned char, 16> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 33> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    return hex.data();
}

std::string authorOf(const Arguments &arguments)
{
    if (!arguments.operatorName.empty()) {
        return arguments.operatorName;
    }
    const char *user = std::getenv("USER");
    return user == nullptr ? "unnamed" : user;
}

ExitStatus exitStatusOf(Operator::EditOutcome outcome)
{
    switch (outcome) {
    case Operator::EditOutcome::Unchanged:
    case Operator::EditOutcome::Applied:
        return ExitStatus::Success;
    case Operator::EditOutcome::Conflict:
        return ExitStatus::Conflict;
    case Operator::EditOutcome::Unknown:
        return ExitStatus::Unknown;
    case Operator::EditOutcome::NotSent:
        return ExitStatus::Failure;
    }
    return ExitStatus::Failure;
}

ExitStatus checkFilesAlone(const Words &files)
{
    const auto tree = SettingsTree::readWholeTree(files);
    if (!tree) {
        return fail(tree.error());
    }
    std::cout << "The files hold a whole tree of " << tree.value().size() << " rows without problems.\n";
    return ExitStatus::Success;
}

ExitStatus applyChange(const Arguments &arguments, Operator::SettingsEditor &editor, const Operator::CheckedChange &change)
{
    std::cout << change.description;
    const Operator::EditResult result = editor.apply(change, {authorOf(arguments), std::chrono::system_clock::now(), newChangeId()});
    const ExitStatus status = exitStatusOf(result.outcome);
    (status == ExitStatus::Success ? std::cout : std::cerr) << result.report << '\n';
    return status;
}

// Checks the files against the tree in the table; goes on to show or to apply the change.
ExitStatus editTree(const Arguments &arguments, const std::string &command, const Words &paths)
{
    const auto platform = ToolPlatform::create(arguments);
    const auto identity = identityOf(arguments);
    auto files = SettingsTree::TreeFiles::read(paths);
    if (!platform || !identity || !files) {
        return fail(!files ? files.error() : !platform ? platform.error() : identity.error());
    }
    Operator::SettingsEditor editor(platform.value()->table(), identity.value());
    const auto change = editor.check({files.value().rows(), arguments.prunedSubtrees}, &files.value());
    if (!change) {
        return fail(change.error());
    }
    if (command == "apply") {
        return applyChange(arguments, editor, change.value());
    }
    std::cout << (command == "diff" ? change.value().description : std::string());
    std::cout << change.value().changes.size() << " rows would change; the tree would be without problems.\n";
    return ExitStatus::Success;
}

ExitStatus getTree(const Arguments &arguments, const std::string &subtree)
{
    const auto platform = ToolPlatform::create(arguments);
    if (!platform) {
        return fail(platform.error());
    }
    const auto store = platform.value()->table().readTree();
    if (!store) {
        return fail(store.error());
    }
    std::cout << "# revision " << store.value().revision() << '\n' << Operator::renderTree(store.value(), subtree);
    return ExitStatus::Success;
}

ExitStatus showHistory(const Arguments &arguments, const std::string &path)
{
    const auto platform = ToolPlatform::create(arguments);
    if (!platform) {
        return fail(platform.error());
    }
    const bool isWhole = path.starts_with(SettingsTree::treePrefix);
    const auto entries = Operator::ChangeHistory(platform.value()->table()).entries(isWhole ? path : std::string(SettingsTree::treePrefix) + path);
    if (!entries) {
        return fail(entries.error());
    }
    for (const Operator::HistoryEntry &entry : entries.value()) {
        std::cout << entry.revision << "  " << entry.changedAt << "  " << entry.author << "  " << (entry.isDeleted ? "deleted" : entry.content) << '\n';
    }
    return ExitStatus::Success;
}

ExitStatus watch(const Arguments &arguments)
{
    const auto platform = ToolPlatform::create(arguments);
    if (!platform) {
        return fail(platform.error());
    }
    const auto store = platform.value()->table().readTree();
    if (!store) {
        return fail(store.error());
    }
    std::uint64_t revision = store.value().revision();
    std::cout << "# revision " << revision << std::endl;
    while (true) {
        const auto rows = platform.value()->table().scan(std::string(SettingsTree::treePrefix), revision, watchPageRows);
        if (!rows) {
            std::cerr << rows.error().toString() << '\n';
        } else {
            for (const Store::TableRow &row : rows.value()) {
                std::cout << row.revision << "  " << row.key << "  " << (row.isDeleted ? "deleted" : row.value) << std::endl;
                revision = row.revision;
            }
        }
        std::this_thread::sleep_for(watchInterval);
    }
}

} // namespace

ExitStatus runSettingsCommand(const Arguments &arguments, const Words &words)
{
    const std::string command = words.empty() ? "" : words.front();
    const Words rest(words.empty() ? words.end() : words.begin() + 1, words.end());
    const bool isEditing = command == "check" || command == "diff" || command == "apply";
    if (isEditing && rest.empty() && arguments.prunedSubtrees.empty()) {
        return fail(wrongCommand("Name at least one file, or a subtree with --prune."));
    }
    if (command == "check" && arguments.platformUrl.empty()) {
        return checkFilesAlone(rest);
    }
    if (isEditing) {
        return editTree(arguments, command, rest);
    }
    if (command == "get" && rest.size() <= 1) {
        return getTree(arguments, rest.empty() ? "" : rest.front());
    }
    if (command == "history" && rest.size() == 1) {
        return showHistory(arguments, rest.front());
    }
    if (command == "watch" && rest.empty()) {
        return watch(arguments);
    }
    return fail(wrongCommand("Say settings check, diff, apply, get, history or watch, and what it is about."));
}

ExitStatus runDrain(const Arguments &arguments, const std::string &name)
{
    const auto platform = ToolPlatform::create(arguments);
    const auto identity = identityOf(arguments);
    if (!platform || !identity) {
        return fail(!platform ? platform.error() : identity.error());
    }
    const auto store = platform.value()->table().readTree();
    if (!store) {
        return fail(store.error());
    }
    const SettingsTree::TreePath path{SettingsTree::RowKind::BackendServer, name, {}};
    const auto row = store.value().row(path.toString());
    if (!row.has_value() || row->isDeleted) {
        return fail({Core::ErrorCode::NotFound, "drain", name, "The settings declare no backend server of this name."});
    }
    const auto content = SettingsTree::decodeRow(path, row->content);
    if (!content) {
        return fail(content.error());
    }
    auto server = std::get<Settings::BackendServerSettings>(content.value());
    server.isDrained = !arguments.isUndoing;
    Operator::SettingsEditor editor(platform.value()->table(), identity.value());
    const auto change = editor.check({{{path.toString(), server}}, {}}, nullptr);
    return change ? applyChange(arguments, editor, change.value()) : fail(change.error());
}

} // namespace Verbena::Tool
