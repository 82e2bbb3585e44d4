/**
 * The public API to embed a daemon: {@link io.banyantally.BanyantallyBuilder} and {@link
 * io.banyantally.GatewayBuilder}.
 */
package io.banyantally;
