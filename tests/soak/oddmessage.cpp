#include "oddmessage.h"

#include <google/protobuf/message.h>

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace Verbena::Soak {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

namespace {

constexpr double deeperShare = 0.7;
constexpr std::size_t longTextBytes = 300;

constexpr std::array<std::uint64_t, 6> oddNumbers{0,
    1,
    std::numeric_limits<std::uint32_t>::max(),
    std::uint64_t(1) << 53U,
    std::uint64_t(std::numeric_limits<std::int64_t>::max()),
    std::numeric_limits<std::uint64_t>::max()};
constexpr std::array<double, 7> oddFractions{
    0, -1, 1e-300, 1e308, std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()};

template<typename Values>
auto drawOf(const Values &values, Decisions::RandomSource &random)
{
    return values[random.next() % values.size()];
}

void changeScalar(Message &message, const FieldDescriptor &field, Decisions::RandomSource &random)
{
    const Reflection &reflection = *message.GetReflection();
    const std::uint64_t number = drawOf(oddNumbers, random);
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
        reflection.SetUInt64(&message, &field, number);
        break;
    case FieldDescriptor::CPPTYPE_UINT32:
        reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(number));
        break;
    case FieldDescriptor::CPPTYPE_INT64:
        reflection.SetInt64(&message, &field, static_cast<std::int64_t>(number));
        break;
    case FieldDescriptor::CPPTYPE_INT32:
        reflection.SetInt32(&message, &field, static_cast<std::int32_t>(number));
        break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        reflection.SetDouble(&message, &field, drawOf(oddFractions, random));
        break;
    case FieldDescriptor::CPPTYPE_BOOL:
        reflection.SetBool(&message, &field, !reflection.GetBool(message, &field));
        break;
    case FieldDescriptor::CPPTYPE_STRING:
        reflection.SetString(&message, &field, random.uniform() < 0.5 ? "" : std::string(longTextBytes, 'x'));
        break;
    default:
        reflection.ClearField(&message, &field);
        break;
    }
}

// Doubles the last entry of a list of messages, in front of the others.
void doubleEntry(Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    const int last = reflection.FieldSize(message, &field) - 1;
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        const std::string copy = reflection.GetRepeatedMessage(message, &field, last).SerializeAsString();
        reflection.AddMessage(&message, &field)->ParseFromString(copy);
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
        reflection.AddUInt64(&message, &field, reflection.GetRepeatedUInt64(message, &field, last));
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
        reflection.AddUInt32(&message, &field, reflection.GetRepeatedUInt32(message, &field, last));
    }
    reflection.SwapElements(&message, &field, 0, last + 1);
}

void changeMessage(Message &message, Decisions::RandomSource &random);

void changeList(Message &message, const FieldDescriptor &field, Decisions::RandomSource &random)
{
    enum Change { Double, Drop, Move, ChangeCount };
    const Reflection &reflection = *message.GetReflection();
    const int size = reflection.FieldSize(message, &field);
    const int entry = static_cast<int>(random.next() % static_cast<std::uint64_t>(size));
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && random.uniform() < deeperShare) {
        changeMessage(*reflection.MutableRepeatedMessage(&message, &field, entry), random);
        return;
    }
    switch (random.next() % ChangeCount) {
    case Double:
        doubleEntry(message, field);
        break;
    case Drop:
        reflection.RemoveLast(&message, &field);
        break;
    default:
        reflection.SwapElements(&message, &field, 0, entry);
        break;
    }
}

// Numbers that are zero are not listed; so one of all fields is drawn in some cases.
const FieldDescriptor &drawField(const Message &message, Decisions::RandomSource &random)
{
    std::vector<const FieldDescriptor *> fields;
    message.GetReflection()->ListFields(message, &fields);
    const google::protobuf::Descriptor &descriptor = *message.GetDescriptor();
    const int any = static_cast<int>(random.next() % static_cast<std::uint64_t>(descriptor.field_count()));
    return fields.empty() || random.uniform() < 0.5 ? *descriptor.field(any) : *drawOf(fields, random);
}

void changeMessage(Message &message, Decisions::RandomSource &random)
{
    if (message.GetDescriptor()->field_count() == 0) {
        return;
    }
    const FieldDescriptor &field = drawField(message, random);
    const Reflection &reflection = *message.GetReflection();
    if (field.is_repeated()) {
        if (reflection.FieldSize(message, &field) > 0) {
            changeList(message, field, random);
        }
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        changeMessage(*reflection.MutableMessage(&message, &field), random);
    } else {
        changeScalar(message, field, random);
    }
}

} // namespace

verbena::wire::Envelope oddMessage(const verbena::wire::Envelope &message, Decisions::RandomSource &random)
{
    verbena::wire::Envelope odd = message;
    std::vector<const FieldDescriptor *> bodies;
    odd.GetReflection()->ListFields(odd, &bodies);
    if (!bodies.empty()) {
        changeMessage(*odd.GetReflection()->MutableMessage(&odd, bodies.front()), random);
    }
    return odd;
}

} // namespace Verbena::Soak
