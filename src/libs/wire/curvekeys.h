#pragma once

#include <core/result.h>

#include <string>
#include <vector>

namespace Verbena::Wire {

/// \brief The CURVE key pair of a process, each key in ZeroMQ's 40-character Z85 form.
struct CurveKeys
{
    std::string publicKey;
    std::string secretKey;

    /// \brief Reads the secret key, alone on the first line of a file. Errors: NotFound, InvalidArgument; they never show the key.
    static Core::Result<CurveKeys> fromSecretKeyFile(const std::string &path);

    /// \brief Makes a new pair. Errors: Internal, if ZeroMQ was built without encryption.
    static Core::Result<CurveKeys> generate();
};

/// \brief True if \a key has the form of a CURVE key.
bool isCurveKey(const std::string &key);

/// \brief Reads public keys, one a line; empty lines and lines that begin with # count as none. Errors: NotFound, InvalidArgument.
Core::Result<std::vector<std::string>> readPublicKeys(const std::string &path);

} // namespace Verbena::Wire
