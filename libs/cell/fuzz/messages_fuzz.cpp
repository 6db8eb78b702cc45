#include "../src/jobtable.h"
#include "../src/peermessages.h"
#include "../src/records.h"
#include "../src/relaymessages.h"
#include "../src/storecalls.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace cowsliprock;
using namespace cowsliprock::cell;

/// Fuzzes messages of other daemons and records in the store. No input may end the process, and a
/// store message that is accepted has to be passed on unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    if (const auto call = decodeStoreCall(bytes)) {
        const auto text = encode(*call);
        const auto again = decodeStoreCall(text);
        if (!again || encode(*again) != text)
            std::abort();
    }
    if (const auto reply = decodeStoreReply(bytes)) {
        const auto text = encode(*reply);
        const auto again = decodeStoreReply(text);
        if (!again || encode(*again) != text)
            std::abort();
    }
    if (const auto batch = decodeRelayBatch(bytes))
        static_cast<void>(encode(*batch));
    if (const auto answer = decodeRelayAnswer(bytes))
        static_cast<void>(encode(*answer));
    if (const auto request = decodePeerAdviceRequest(bytes))
        static_cast<void>(encode(*request));
    static_cast<void>(decodePromiseRequest(bytes));
    static_cast<void>(decodePromiseAnswer(bytes));
    static_cast<void>(decodeAdvice(bytes));
    static_cast<void>(decodeStatus(bytes));
    static_cast<void>(decodeCount(bytes));
    static_cast<void>(decodeMember(bytes));
    static_cast<void>(decodeOwner(bytes));
    static_cast<void>(decodeSuccessors(bytes));
    static_cast<void>(decodeRoster(bytes));
    const auto progress = decodeProgress(bytes);
    if (const auto record = decodeJob(bytes)) {
        const auto job = makeJob(*record, 1, TimePoint(), progress);
        static_cast<void>(encode(progressOf(job)));
        static_cast<void>(encode(job.record));
    }
    return 0;
}
