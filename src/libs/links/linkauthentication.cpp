#include "linkauthentication.h"

#include <utils/hashing.h>

namespace Links {

namespace {

constexpr int nonceBytes = 12;

auto signature(const std::string &secret, const std::string &peer, const std::string &nonce,
               const std::string &path, const std::string &body) -> std::string
{
    return Utils::hmacSha256Hex(secret, peer + "\n" + nonce + "\n" + path + "\n" + body);
}

} // namespace

auto signRequest(const std::string &secret, const std::string &peer, const std::string &path,
                 const std::string &body) -> LinkCredentials
{
    const std::string nonce = Utils::randomHex(nonceBytes);
    return {peer, nonce, signature(secret, peer, nonce, path, body)};
}

auto verifyRequest(const std::string &secret, const LinkCredentials &credentials,
                   const std::string &path, const std::string &body) -> bool
{
    const auto expected = signature(secret, credentials.peer, credentials.nonce, path, body);
    return Utils::equalInConstantTime(expected, credentials.mac);
}

} // namespace Links
