#include "virtualclock.h"

#include <decisions/control/claimsweeper.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;

/// Executes the actions of a ClaimSweeper.
class SweeperDriver
{
public:
    SweeperDriver(VirtualClock &clock, const ClaimSweeperOptions &options)
        : m_clock(clock)
        , m_sweeper(options)
    {
    }

    void run()
    {
        const auto action = m_sweeper.advance(m_clock.now());
        if (!action) {
            return;
        }
        Store::TableService &table = m_clock.platform();
        if (const auto *cursor = std::get_if<ReadSweepCursor>(&*action)) {
            table.get({ClaimSweeper::cursorRow}, cursor->deadline, [this](const auto &rows) { m_sweeper.handleCursor(rows, m_clock.now()); });
        } else if (const auto *scan = std::get_if<ScanClaims>(&*action)) {
            table.scan(ClaimSweeper::claimsPrefix, scan->sinceRevision, scan->limit, scan->deadline, [this](const auto &rows) {
                m_sweeper.handlePage(rows, m_clock.reading());
            });
        } else if (const auto *remove = std::get_if<RemoveClaims>(&*action)) {
            table.commit(remove->writes, remove->deadline, [this](const auto &answer) { m_sweeper.handleCommit(answer, m_clock.now()); });
        }
    }

private:
    VirtualClock &m_clock;
    ClaimSweeper m_sweeper;
};

TEST(ClaimSweeperProperty, removesExpiredClaimsOnly)
{
    EXPECT_TRUE(rc::check("two sweepers and lost answers leave exactly the claims that have not expired", [] {
        VirtualClock clock(4ms);
        ClaimSweeperOptions options;
        options.pageRows = 4;
        options.idleInterval = 10s;
        SweeperDriver first(clock, options);
        SweeperDriver second(clock, options);
        Standin::PlatformState &state = clock.platform().state();
        std::map<std::string, Core::WallTime> expiries;
        const auto runFor = [&](std::chrono::milliseconds duration) {
            for (const Core::TimePoint end = clock.now() + duration; clock.now() < end; clock.platform().advanceTo(clock.now() + 50ms)) {
                first.run();
                second.run();
            }
        };
        const int rounds = *rc::gen::inRange(1, 20);
        for (int round = 0; round < rounds; ++round) {
            for (int n = *rc::gen::inRange(0, 8); n > 0; --n) {
                // A key whose claim has not expired is skipped; an expired or removed one may be claimed again.
                const std::string key = "claims/k/d/" + std::to_string(*rc::gen::inRange(0, 6));
                if (expiries.contains(key) && expiries[key] + 5min > clock.reading().wall) {
                    continue;
                }
                const ClaimRecord record{"t", 1, std::chrono::floor<std::chrono::seconds>(clock.reading().wall + 1h), std::nullopt};
                expiries[key] = record.expiry;
                state.commit({{key, record.encode(), std::nullopt}});
            }
            Standin::PlatformFaults faults;
            faults.lostAnswers = *rc::gen::element(0U, 1U, 2U);
            faults.delayedWrites = *rc::gen::element(0U, 1U);
            faults.writeDelay = 25min;
            state.setFaults(faults);
            runFor(std::chrono::minutes(*rc::gen::element(1, 20, 40)));
            for (const auto &[key, expiry] : expiries) {
                RC_ASSERT(!state.rows({key}).at(0).isDeleted || expiry + options.clockSkew <= clock.reading().wall);
            }
        }
        state.setFaults({});
        runFor(2min);
        for (const auto &[key, expiry] : expiries) {
            const Store::TableRow row = state.rows({key}).at(0);
            const auto wall = clock.reading().wall;
            RC_ASSERT(row.isDeleted == (expiry + options.clockSkew <= wall) || expiry + options.clockSkew + 1min > wall);
            RC_ASSERT(!row.isDeleted || expiry + options.clockSkew <= wall);
        }
    }));
}

} // namespace

} // namespace Verbena::Test
