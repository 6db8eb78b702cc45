// Generated from schemas/settings.schema.json by scripts/embed-documents.
#include "settingsschema.h"

namespace cowsliprock {

std::string_view settingsSchema() noexcept
{
    // clang-format off
    return R"EMBEDDED({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of cowsliprockd",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "name",
    "daemons",
    "storeAddress"
  ],
  "definitions": {
    "daemon": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "region",
        "dataCentre",
        "httpAddress",
        "peerAddress"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "region": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "dataCentre": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "rack": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "httpAddress": {
          "type": "string",
          "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
          "description": "IPv4 number and port, for example 127.0.0.1:8001"
        },
        "peerAddress": {
          "type": "string",
          "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
          "description": "IPv4 number and port, for example 127.0.0.1:8001"
        }
      }
    }
  },
  "properties": {
    "name": {
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
      "maxLength": 63,
      "description": "name of this daemon, one of those in daemons"
    },
    "daemons": {
      "type": "array",
      "minItems": 1,
      "maxItems": 1000,
      "items": {
        "$ref": "#/definitions/daemon"
      },
      "description": "all daemons, this one included"
    },
    "storeAddress": {
      "type": "string",
      "pattern": "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$",
      "description": "IPv4 number and port, for example 127.0.0.1:8001"
    },
    "randomSeed": {
      "type": "integer",
      "minimum": 0,
      "maximum": 9007199254740991,
      "description": "0: the daemon chooses one"
    },
    "placementPolicies": {
      "type": "array",
      "maxItems": 32,
      "items": {
        "type": "string",
        "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
        "maxLength": 63,
        "description": "lower-case letters, digits, '-' and '.'"
      },
      "description": "placement policies that a configuration may name"
    },
    "partitionsPerDataCentre": {
      "type": "integer",
      "minimum": 1,
      "maximum": 256
    },
    "renewIntervalMs": {
      "type": "integer",
      "minimum": 100,
      "maximum": 60000,
      "description": "interval of lease renewals"
    },
    "leaseTimeMs": {
      "type": "integer",
      "minimum": 500,
      "maximum": 600000,
      "description": "lease time"
    },
    "leaseMarginMs": {
      "type": "integer",
      "minimum": 50,
      "maximum": 60000,
      "description": "covers clock rates and the time in flight"
    },
    "quarantineMs": {
      "type": "integer",
      "minimum": 0,
      "maximum": 600000,
      "description": "wait of a new owner after an expired lease"
    },
    "maxOutageExtensionMs": {
      "type": "integer",
      "minimum": 0,
      "maximum": 86400000,
      "description": "longest continuation on promises"
    },
    "journalIntervalMs": {
      "type": "integer",
      "minimum": 10,
      "maximum": 10000,
      "description": "least interval between journal writes"
    },
    "identityRetentionMs": {
      "type": "integer",
      "minimum": 60000,
      "maximum": 604800000,
      "description": "how long identities of requests are kept"
    },
    "heartbeatIntervalMs": {
      "type": "integer",
      "minimum": 50,
      "maximum": 10000,
      "description": "interval of heartbeats in the region"
    },
    "farHeartbeatIntervalMs": {
      "type": "integer",
      "minimum": 100,
      "maximum": 60000,
      "description": "interval of heartbeats to other regions"
    },
    "peerTimeoutMs": {
      "type": "integer",
      "minimum": 500,
      "maximum": 60000,
      "description": "a peer not heard of for this long counts as not alive"
    },
    "pollIntervalMs": {
      "type": "integer",
      "minimum": 100,
      "maximum": 60000,
      "description": "interval of worker polls"
    },
    "taskLeaseMs": {
      "type": "integer",
      "minimum": 1000,
      "maximum": 600000,
      "description": "lease of a task"
    },
    "reservationTimeMs": {
      "type": "integer",
      "minimum": 100,
      "maximum": 60000,
      "description": "life of a reservation"
    },
    "drainLimitMs": {
      "type": "integer",
      "minimum": 0,
      "maximum": 600000,
      "description": "longest drain"
    },
    "answerCacheEntries": {
      "type": "integer",
      "minimum": 0,
      "maximum": 10000000
    },
    "httpThreads": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1024
    },
    "endpointCallThreads": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1024
    },
    "workerCallThreads": {
      "type": "integer",
      "minimum": 1,
      "maximum": 256
    },
    "kernelRingEntries": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "events that wait for the kernel"
    },
    "storeRingEntries": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "store calls that wait"
    },
    "peerRingEntries": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "peer messages that wait to be sent"
    },
    "workerRingEntries": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "worker calls that wait"
    },
    "endpointRingEntries": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "endpoint calls that wait"
    },
    "bodyLimitBytes": {
      "type": "integer",
      "minimum": 1024,
      "maximum": 67108864,
      "description": "largest request or answer body"
    },
    "headerLimitBytes": {
      "type": "integer",
      "minimum": 256,
      "maximum": 8192,
      "description": "longest header line"
    },
    "headerLimitCount": {
      "type": "integer",
      "minimum": 8,
      "maximum": 1000
    },
    "readTimeoutMs": {
      "type": "integer",
      "minimum": 100,
      "maximum": 60000,
      "description": "a connection without progress is closed after this"
    },
    "logFormat": {
      "enum": [
        "text",
        "json"
      ]
    },
    "logLevel": {
      "enum": [
        "trace",
        "debug",
        "info",
        "warn",
        "error",
        "off"
      ]
    },
    "traceFile": {
      "type": "string",
      "maxLength": 4096,
      "description": "path of the trace to record; empty for none"
    }
  }
}
)EMBEDDED";
    // clang-format on
}

} // namespace cowsliprock
