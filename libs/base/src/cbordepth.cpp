#include "cbordepth.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cowsliprock {

namespace {

/// Major types of RFC 8949 that the check distinguishes.
enum MajorType : unsigned { ByteString = 2, TextString = 3, Array = 4, Map = 5, Tag = 6 };

/// Start of an item: its major type and the number that belongs to it.
struct Head
{
    unsigned type = 0;
    std::uint64_t argument = 0;
};

class HeadReader
{
public:
    explicit HeadReader(std::string_view bytes) noexcept
        : m_rest(bytes)
    { }

    std::optional<Head> next() noexcept
    {
        constexpr unsigned typeShift = 5;
        constexpr unsigned infoMask = 0x1F;
        constexpr unsigned firstInfoWithBytes = 24;
        constexpr unsigned lastInfoWithBytes = 27;
        if (m_rest.empty())
            return std::nullopt;
        const auto initial = takeByte();
        const unsigned info = initial & infoMask;
        Head head{ initial >> typeShift, info };
        if (info < firstInfoWithBytes)
            return head;
        const std::size_t size = std::size_t{ 1 } << (info - firstInfoWithBytes);
        if (info > lastInfoWithBytes || size > m_rest.size())
            return std::nullopt;
        head.argument = 0;
        for (std::size_t index = 0; index < size; ++index)
            head.argument = (head.argument << 8U) | takeByte();
        return head;
    }

    bool skip(std::uint64_t count) noexcept
    {
        if (count > m_rest.size())
            return false;
        m_rest.remove_prefix(count);
        return true;
    }

    [[nodiscard]] std::size_t remaining() const noexcept { return m_rest.size(); }

private:
    unsigned takeByte() noexcept
    {
        const auto byte = static_cast<unsigned char>(m_rest.front());
        m_rest.remove_prefix(1);
        return byte;
    }

    std::string_view m_rest;
};

} // namespace

bool cborWithinDepth(std::string_view bytes, std::size_t maxDepth)
{
    HeadReader reader(bytes);
    // Items still to come, on the top level and in each open array or map.
    std::vector<std::uint64_t> missing{ 1 };
    while (!missing.empty()) {
        if (missing.back() == 0) {
            missing.pop_back();
            continue;
        }
        --missing.back();
        const auto head = reader.next();
        if (!head || head->type == Tag)
            return false;
        if (head->type == ByteString || head->type == TextString) {
            if (!reader.skip(head->argument))
                return false;
        } else if (head->type == Array || head->type == Map) {
            // Each element takes at least one byte.
            if (missing.size() > maxDepth || head->argument > reader.remaining())
                return false;
            missing.push_back(head->type == Map ? head->argument * 2 : head->argument);
        }
    }
    return reader.remaining() == 0;
}

} // namespace cowsliprock
