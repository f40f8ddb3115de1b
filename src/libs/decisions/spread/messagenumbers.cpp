#include "messagenumbers.h"

#include "randomsource.h"

namespace Verbena::Decisions {

// Datagrams may be late, and a process that was started anew has the address of its predecessor: if both counted from the same number, it would take answers to
// the predecessor's messages for answers to its own. Half of the range is left to count up.
MessageNumbers::MessageNumbers(std::uint64_t seed)
    : m_last(RandomSource(seed).next() / 2)
{
}

std::uint64_t MessageNumbers::next()
{
    return ++m_last;
}

} // namespace Verbena::Decisions
