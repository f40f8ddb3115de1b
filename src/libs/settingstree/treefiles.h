#pragma once

#include "treecheck.h"

#include <settings/settingsreader.h>

#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief A text that is read like a file.
struct NamedText
{
    std::string name; ///< Stands for the file in problems.
    std::string text;
};

/// \brief Settings of the tree, whole or in part, as operators keep them in YAML files.
class TreeFiles
{
public:
    /// \brief No files at all: what is wrong in a tree is told by its rows.
    TreeFiles() = default;

    /// \brief Reads all \a paths. Errors: NotFound, InvalidArgument, with every problem's file, line and key.
    static Core::Result<TreeFiles> read(const std::vector<std::string> &paths);

    /// \brief Reads \a texts in place of files.
    static Core::Result<TreeFiles> readTexts(const std::vector<NamedText> &texts);

    /// \brief The rows that the files hold, each in one file only.
    const Tree &rows() const;

    /// \brief Checks \a whole, into which these rows were merged. Errors: InvalidArgument, with the place of every problem.
    Core::Result<void> checkWhole(const Tree &whole);

private:
    void readRoot(Settings::SettingsReader &root);
    void readOrganisation(Settings::SettingsReader &parent, const std::string &name);
    void addRow(const Settings::SettingsReader &reader, const TreePath &path, RowContent content);
    Core::Result<void> finish(const std::string &otherProblems);

    Tree m_rows;
    std::map<std::string, Settings::SettingsReader> m_origins; ///< Where each row was read, to place its problems.
    std::vector<Settings::SettingsReader> m_roots;
};

/// \brief Reads YAML files that hold a whole tree, and checks it. Errors: as TreeFiles.
Core::Result<Tree> readWholeTree(const std::vector<std::string> &paths);

} // namespace Verbena::SettingsTree
