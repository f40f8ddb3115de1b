#include <store/storeclockestimate.h>

#include <gtest/gtest.h>

namespace Verbena::Store {

namespace {

using namespace std::chrono_literals;

// Two clocks of which none is disciplined differ by 20 and more parts in a million; a router runs for days.
TEST(ClockDriftTest, doesNotMakeAgesTooSmall)
{
    StoreClockEstimate clock;
    const Core::BootTime start{};
    constexpr auto hour = std::chrono::hours(1);
    constexpr std::chrono::microseconds gainPerHour = 72ms; // 20 in a million.
    StoreTime said{};
    Core::BootTime now = start;
    for (int number = 0; number <= 72; ++number) {
        now = start + number * hour;
        said = StoreTime(std::chrono::floor<StoreTime::duration>(number * (hour + gainPerHour)));
        clock.note({said, now});
    }
    // What was written when the store said so is two seconds old two seconds later.
    EXPECT_GE(clock.age(said, now + 2s), 1900ms);
}

} // namespace

} // namespace Verbena::Store
