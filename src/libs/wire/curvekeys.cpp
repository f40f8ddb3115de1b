#include "curvekeys.h"

#include <zmq.h>

#include <array>
#include <fstream>

namespace Verbena::Wire {

namespace {

constexpr std::size_t keyLength = 40;
constexpr std::size_t binaryKeyLength = 32;

using KeyBuffer = std::array<char, keyLength + 1>;

Core::Error keyError(Core::ErrorCode code, const std::string &path, const std::string &message)
{
    return Core::Error{code, "wire.keys", path, message};
}

std::string withoutBlanks(const std::string &line)
{
    const std::size_t begin = line.find_first_not_of(" \t\r");
    const std::size_t end = line.find_last_not_of(" \t\r");
    return begin == std::string::npos ? std::string() : line.substr(begin, end - begin + 1);
}

} // namespace

bool isCurveKey(const std::string &key)
{
    std::array<std::uint8_t, binaryKeyLength> binary{};
    return key.size() == keyLength && zmq_z85_decode(binary.data(), key.c_str()) != nullptr;
}

Core::Result<CurveKeys> CurveKeys::fromSecretKeyFile(const std::string &path)
{
    std::ifstream file(path);
    std::string line;
    if (!file || !std::getline(file, line)) {
        return keyError(Core::ErrorCode::NotFound, path, "The file with the secret key cannot be read.");
    }
    CurveKeys keys;
    keys.secretKey = withoutBlanks(line);
    KeyBuffer publicKey{};
    if (!isCurveKey(keys.secretKey) || zmq_curve_public(publicKey.data(), keys.secretKey.c_str()) != 0) {
        return keyError(Core::ErrorCode::InvalidArgument, path, "The first line is not a CURVE key of 40 characters in Z85 encoding.");
    }
    keys.publicKey = publicKey.data();
    return keys;
}

Core::Result<CurveKeys> CurveKeys::generate()
{
    KeyBuffer publicKey{};
    KeyBuffer secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        return keyError(Core::ErrorCode::Internal, "", "ZeroMQ cannot generate CURVE keys.");
    }
    return CurveKeys{publicKey.data(), secretKey.data()};
}

Core::Result<std::vector<std::string>> readPublicKeys(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return keyError(Core::ErrorCode::NotFound, path, "The file with the public keys cannot be read.");
    }
    std::vector<std::string> keys;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        std::string key = withoutBlanks(line);
        if (key.empty() || key.starts_with('#')) {
            continue;
        }
        if (!isCurveKey(key)) {
            return keyError(Core::ErrorCode::InvalidArgument, path + ":" + std::to_string(number), "This is not a CURVE key of 40 characters in Z85 encoding.");
        }
        keys.push_back(std::move(key));
    }
    return keys;
}

} // namespace Verbena::Wire
