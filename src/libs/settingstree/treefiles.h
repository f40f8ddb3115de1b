#pragma once

#include "treecheck.h"

#include <settings/settingsreader.h>

#include <string>
#include <vector>

namespace Verbena::SettingsTree {

/// \brief A text that is read like a file.
struct NamedText
{
    std::string name; ///< Name that is used as the file in problems.
    std::string text;
};

/// \brief The whole settings tree, or a part of it, in YAML files of an operator.
class TreeFiles
{
public:
    /// \brief Creates an object without files; problems then name rows instead of files.
    TreeFiles() = default;

    /// \brief Reads all \a paths. Errors: NotFound, InvalidArgument, with every problem's file, line and key.
    static Core::Result<TreeFiles> read(const std::vector<std::string> &paths);

    /// \brief Reads \a texts in place of files.
    static Core::Result<TreeFiles> readTexts(const std::vector<NamedText> &texts);

    /// \brief Returns the rows in the files; each is in one file only.
    const Tree &rows() const;

    /// \brief Checks the tree \a whole, which contains these rows. Errors: InvalidArgument, with the position of every problem.
    Core::Result<void> checkWhole(const Tree &whole);

private:
    void readRoot(Settings::SettingsReader &root);
    void readOrganisation(Settings::SettingsReader &parent, const std::string &name);
    void addRow(const Settings::SettingsReader &reader, const TreePath &path, RowContent content);
    Core::Result<void> finish(const std::string &otherProblems);

    Tree m_rows;
    std::map<std::string, Settings::SettingsReader> m_origins; ///< Reader of each row, for the positions of problems.
    std::vector<Settings::SettingsReader> m_roots;
};

/// \brief Reads YAML files that hold a whole tree, and checks it. Errors: as TreeFiles.
Core::Result<Tree> readWholeTree(const std::vector<std::string> &paths);

} // namespace Verbena::SettingsTree
