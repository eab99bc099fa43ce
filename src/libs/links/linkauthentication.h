#pragma once

#include <string>

namespace Links {

/// Credentials that prove that the sender of a request knows the fleet secret.
struct LinkCredentials
{
    std::string peer;
    std::string nonce;
    std::string mac;
};

/// Signs one request; the signature covers peer, path and body.
auto signRequest(const std::string &secret, const std::string &peer, const std::string &path,
                 const std::string &body) -> LinkCredentials;

/// True if the credentials match the request and the secret.
auto verifyRequest(const std::string &secret, const LinkCredentials &credentials,
                   const std::string &path, const std::string &body) -> bool;

} // namespace Links
