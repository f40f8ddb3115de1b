#pragma once

#include <core/result.h>

#include <string>
#include <vector>

namespace Verbena::Wire {

/// \brief The CURVE key pair of a process, each key in the 40-character Z85 encoding of ZeroMQ.
struct CurveKeys
{
    std::string publicKey;
    std::string secretKey;

    /// \brief Reads the secret key from the first line of a file, which contains nothing else. Errors: NotFound, InvalidArgument; they never contain the key.
    static Core::Result<CurveKeys> fromSecretKeyFile(const std::string &path);

    /// \brief Generates a new key pair. Errors: Internal, if ZeroMQ was built without encryption.
    static Core::Result<CurveKeys> generate();
};

/// \brief Returns whether \a key has the form of a CURVE key.
bool isCurveKey(const std::string &key);

/// \brief Reads public keys, one per line; empty lines and lines that start with # are skipped. Errors: NotFound, InvalidArgument.
Core::Result<std::vector<std::string>> readPublicKeys(const std::string &path);

} // namespace Verbena::Wire
