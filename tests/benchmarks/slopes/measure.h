#pragma once

#include "slope.h"

#include <functional>
#include <vector>

namespace Verbena::Bench {

/// \brief Bytes that this process has from the C library's heap now.
double heapBytes();

/// \brief Processor time that \a work takes, in nanoseconds; the least of several runs, since others disturb the machine.
double processorNanoseconds(const std::function<void()> &work);

/// \brief Keeps the compiler from leaving out what computes \a value.
template<typename T>
void keep(const T &value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

/// \brief A slope with one point for each of \a sizes, which \a measure gives.
Slope measureSlope(Slope slope, const std::vector<int> &sizes, const std::function<double(int)> &measure);

/// \brief Bytes that the object which \a make returns keeps on the heap.
template<typename Make>
double heapBytesOf(const Make &make)
{
    const double before = heapBytes();
    const auto object = make();
    keep(object);
    return heapBytes() - before;
}

} // namespace Verbena::Bench
