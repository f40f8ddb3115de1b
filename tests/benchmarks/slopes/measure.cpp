#include "measure.h"

#include <algorithm>
#include <ctime>
#include <limits>

#include <malloc.h>

namespace Verbena::Bench {

namespace {

constexpr int repetitions = 5;

double processorClock()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

} // namespace

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double processorNanoseconds(const std::function<void()> &work)
{
    double least = std::numeric_limits<double>::max();
    for (int i = 0; i < repetitions; ++i) {
        const double begin = processorClock();
        work();
        least = std::min(least, processorClock() - begin);
    }
    return least;
}

Slope measureSlope(Slope slope, const std::vector<int> &sizes, const std::function<double(int)> &measure)
{
    for (const int size : sizes) {
        slope.points.push_back({static_cast<double>(size), measure(size)});
    }
    return slope;
}

} // namespace Verbena::Bench
