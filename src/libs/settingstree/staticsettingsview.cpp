#include "staticsettingsview.h"

#include "inforcebuilder.h"
#include "treefiles.h"

namespace Verbena::SettingsTree {

Core::Result<std::unique_ptr<StaticSettingsView>> StaticSettingsView::fromFiles(const std::vector<std::string> &paths)
{
    std::unique_ptr<StaticSettingsView> view(new StaticSettingsView(paths));
    BOOST_OUTCOME_TRY(view->reload());
    return view;
}

StaticSettingsView::StaticSettingsView(std::vector<std::string> paths)
    : m_paths(std::move(paths))
    , m_current(std::make_shared<const Settings::InForceSettings>())
{
}

std::shared_ptr<const Settings::InForceSettings> StaticSettingsView::current() const
{
    return m_current;
}

void StaticSettingsView::setChangedCallback(std::function<void()> callback)
{
    m_changedCallback = std::move(callback);
}

Core::Result<void> StaticSettingsView::reload()
{
    VERBENA_TRY(tree, readWholeTree(m_paths));
    const std::uint64_t revision = m_current->revision + 1;
    std::vector<ChangedRow> rows;
    for (const auto &[path, content] : tree) {
        rows.push_back({path, encodeRow(content), revision, false});
    }
    InForceBuilder builder;
    const std::vector<Core::Error> errors = builder.apply(rows, revision);
    if (!errors.empty()) {
        return errors.front();
    }
    m_current = builder.current();
    if (m_changedCallback) {
        m_changedCallback();
    }
    return Core::success();
}

} // namespace Verbena::SettingsTree
