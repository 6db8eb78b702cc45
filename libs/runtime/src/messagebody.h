#pragma once

#include <kernel/messages.h>
#include <platform/body.h>

#include <utility>
#include <variant>

namespace cowsliprock {

/// Returns the key of the body that \p message refers to; empty if it has no body.
[[nodiscard]] inline BodyKey bodyKeyOf(const Message &message)
{
    return std::visit(
        [](const auto &content) -> BodyKey {
            if constexpr (requires { content.bodyKey; })
                return content.bodyKey;
            else if constexpr (requires { content.answer.body; })
                return content.answer.body;
            else
                return {};
        },
        message);
}

/// Copies \p body into the message; does nothing for messages without a body.
inline void setBody(Message &message, const Body &body)
{
    std::visit(
        [&body](auto &content) {
            if constexpr (requires { content.contentType; }) {
                content.body = body.bytes;
                content.contentType = body.contentType;
            }
        },
        message);
}

/// Moves the body out of a received message; returns an empty body if it has none.
[[nodiscard]] inline Body takeBody(Message &message)
{
    return std::visit(
        [](auto &content) -> Body {
            if constexpr (requires { content.contentType; })
                return { std::exchange(content.contentType, {}), std::exchange(content.body, {}) };
            else
                return {};
        },
        message);
}

} // namespace cowsliprock
