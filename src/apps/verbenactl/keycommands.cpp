#include "keycommands.h"

#include <operator/operatoridentity.h>
#include <wire/curvekeys.h>

#include <sodium.h>

#include <array>
#include <iostream>

namespace Verbena::Tool {

namespace {

constexpr std::size_t apiKeyBytes = 32;

ExitStatus printCurveKeys()
{
    const auto keys = Wire::CurveKeys::generate();
    if (!keys) {
        std::cerr << keys.error().toString() << '\n';
        return ExitStatus::Failure;
    }
    std::cout << "secret " << keys.value().secretKey << "\npublic " << keys.value().publicKey << '\n';
    return ExitStatus::Success;
}

ExitStatus printApiKey()
{
    std::array<unsigned char, apiKeyBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, sodium_base64_ENCODED_LEN(apiKeyBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING)> text{};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    std::cout << "secret " << text.data() << "\nsha256 " << Operator::sha256Hex(text.data()) << '\n';
    return ExitStatus::Success;
}

} // namespace

ExitStatus runKeygen(const std::string &kind)
{
    if (kind == "curve") {
        return printCurveKeys();
    }
    if (kind == "api") {
        return printApiKey();
    }
    std::cerr << "Say keygen curve or keygen api.\n";
    return ExitStatus::Invalid;
}

} // namespace Verbena::Tool
