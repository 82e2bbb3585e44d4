/** Messages between the processes of the system: MessagePack in length-prefixed TCP frames. */
package io.banyantally.internal.peer;
