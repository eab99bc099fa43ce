#include "hashing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <vector>

namespace Utils {

namespace {

auto toHex(const unsigned char *bytes, size_t count) -> std::string
{
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * count);
    for (size_t i = 0; i < count; ++i) {
        hex.push_back(digits[bytes[i] >> 4]);
        hex.push_back(digits[bytes[i] & 0xf]);
    }
    return hex;
}

} // namespace

auto sha256Hex(std::string_view data) -> std::string
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest, &length, EVP_sha256(), nullptr);
    return toHex(digest, length);
}

auto hmacSha256Hex(std::string_view secret, std::string_view data) -> std::string
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest, &length);
    return toHex(digest, length);
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto randomHex(int bytes) -> std::string
{
    std::vector<unsigned char> buffer(static_cast<size_t>(bytes));
    RAND_bytes(buffer.data(), bytes);
    return toHex(buffer.data(), buffer.size());
}

} // namespace Utils
